import {declareMatrix} from './declare_matrix.js';

declareMatrix(5, 8);
