import {declareMatrix} from './declare_matrix.js';

declareMatrix(4, 8);
