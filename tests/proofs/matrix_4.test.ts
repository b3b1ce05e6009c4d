import {declareMatrix} from './declare_matrix.js';

declareMatrix(3, 8);
